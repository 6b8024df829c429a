package org.sycamoretrack.daemon.request;

/** Converts generated output into the answer to a completion call. */
sealed interface CompletionAnswer extends GenerationListener
    permits WholeCompletion, StreamedCompletion {}

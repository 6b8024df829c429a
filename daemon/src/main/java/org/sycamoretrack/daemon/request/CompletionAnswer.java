package org.sycamoretrack.daemon.request;

/** Turns what is generated into the answer of a completion call. */
sealed interface CompletionAnswer extends GenerationListener
    permits WholeCompletion, StreamedCompletion {}

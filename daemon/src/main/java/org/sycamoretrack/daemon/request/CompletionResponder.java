package org.sycamoretrack.daemon.request;

/** Converts generated output into the response to a completion call. */
sealed interface CompletionResponder extends GenerationListener
    permits WholeCompletion, StreamedCompletion {}

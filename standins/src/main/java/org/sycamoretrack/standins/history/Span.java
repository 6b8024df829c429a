package org.sycamoretrack.standins.history;

/**
 * A range of tokens that one weight version produced.
 *
 * @param version the weight version
 * @param fromToken first token, inclusive
 * @param toToken last token, exclusive
 */
public record Span(long version, int fromToken, int toToken) {}

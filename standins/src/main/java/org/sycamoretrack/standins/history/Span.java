package org.sycamoretrack.standins.history;

/**
 * A range of tokens produced by one weight version.
 *
 * @param version the weight version
 * @param fromToken index of the first token, inclusive
 * @param toToken index of the end, exclusive
 */
public record Span(long version, int fromToken, int toToken) {}

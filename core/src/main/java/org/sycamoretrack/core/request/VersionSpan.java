package org.sycamoretrack.core.request;

/**
 * A run of an answer's tokens that one weight version produced.
 *
 * @param version the weight version
 * @param fromToken the first token, counted from 0
 * @param toToken the token after the last
 */
public record VersionSpan(long version, int fromToken, int toToken) {
  /** Checks that the span is not empty. */
  public VersionSpan {
    if (fromToken < 0 || toToken <= fromToken) {
      throw new IllegalArgumentException("span [" + fromToken + ", " + toToken + ") is empty");
    }
  }

  /** Returns the number of tokens. */
  public int tokens() {
    return toToken - fromToken;
  }
}

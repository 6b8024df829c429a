package org.sycamoretrack.standins.driver;

/**
 * How a trainer behaves.
 *
 * @param seed the seed of its prompts and choices
 * @param stepTimeoutMs time after which it gives a step up
 * @param abandonShare share of the polls that it abandons after a few milliseconds
 */
public record TrainerOptions(long seed, long stepTimeoutMs, double abandonShare) {}

package org.sycamoretrack.standins.driver;

/**
 * Options of a trainer.
 *
 * @param seed seed of its samples and random choices
 * @param stepTimeoutMs time after which it gives up a step, in milliseconds
 * @param abandonShare fraction of polls that it abandons after a few milliseconds, 0 to 1
 */
public record TrainerOptions(long seed, long stepTimeoutMs, double abandonShare) {}

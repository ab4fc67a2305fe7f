package org.clementinepost.kernel;

/**
 * A pure decision over immutable values.
 *
 * <p>It reads no clock, draws no random number and touches no socket: what it needs comes with the
 * event, so the same events give the same steps.
 */
@FunctionalInterface
public interface Decision<S, M, E> {
  /** Decides what an event changes and what is to be done about it. */
  Step<S, E> decide(S state, M event);
}

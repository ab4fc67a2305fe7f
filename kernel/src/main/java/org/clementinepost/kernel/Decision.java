package org.clementinepost.kernel;

/**
 * A pure function from the current state and an event to the next state and its effects.
 *
 * <p>A decision reads no clock, generates no random numbers and uses no sockets. All its inputs
 * come with the event, so the same sequence of events always gives the same steps.
 */
@FunctionalInterface
public interface Decision<S, M, E> {
  /** Returns the next state and the effects of an event. */
  Step<S, E> decide(S state, M event);
}

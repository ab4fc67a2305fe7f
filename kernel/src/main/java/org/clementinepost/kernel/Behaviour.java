package org.clementinepost.kernel;

import java.util.function.Function;

/** Processes a task's messages, one at a time. */
@FunctionalInterface
public interface Behaviour<M> {
  /** Processes one message. */
  void receive(M message);

  /** Releases sockets and timers; called once, after the last message. */
  default void stop() {}

  /**
   * Returns a behaviour that applies a pure decision to each message.
   *
   * <p>The behaviour holds the only reference to the state; each decision replaces it.
   *
   * @param initial the initial state
   * @param toEvent converts a message to an event, adding inputs that the decision must not read
   *     itself, such as the time
   * @param decision the pure decision
   * @param effects performs the effects that the decision returns
   */
  static <S, M, V, E> Behaviour<M> ofDecision(
      S initial, Function<M, V> toEvent, Decision<S, V, E> decision, EffectHandler<E> effects) {
    return new DecisionBehaviour<>(initial, toEvent, decision, effects);
  }
}

package org.clementinepost.kernel;

import java.util.function.Function;

/** What a task does with its messages; it is called for one message at a time. */
@FunctionalInterface
public interface Behaviour<M> {
  /** Takes one message. */
  void receive(M message);

  /** Lets go of sockets and timers; called once, after the last message. */
  default void stop() {}

  /**
   * Makes a behaviour of a pure decision.
   *
   * <p>The state lives here and nowhere else; the decision replaces it at each event.
   *
   * @param initial the first state
   * @param toEvent adds what the decision may not read itself, such as the time
   * @param decision the pure decision
   * @param effects carries out what the decision asks for
   */
  static <S, M, V, E> Behaviour<M> ofDecision(
      S initial, Function<M, V> toEvent, Decision<S, V, E> decision, EffectHandler<E> effects) {
    return new DecisionBehaviour<>(initial, toEvent, decision, effects);
  }
}

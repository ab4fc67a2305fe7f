package org.clementinepost.kernel;

import java.util.function.Function;

/** Applies a pure decision to each message and holds its state between messages. */
final class DecisionBehaviour<S, M, V, E> implements Behaviour<M> {
  private final Function<M, V> toEvent;
  private final Decision<S, V, E> decision;
  private final EffectHandler<E> effects;
  private S state;

  DecisionBehaviour(
      S initial, Function<M, V> toEvent, Decision<S, V, E> decision, EffectHandler<E> effects) {
    this.state = initial;
    this.toEvent = toEvent;
    this.decision = decision;
    this.effects = effects;
  }

  @Override
  public void receive(M message) {
    Step<S, E> step = decision.decide(state, toEvent.apply(message));
    state = step.state();
    step.effects().forEach(effects::handle);
  }
}

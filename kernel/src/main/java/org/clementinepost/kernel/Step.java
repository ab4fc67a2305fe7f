package org.clementinepost.kernel;

import io.vavr.collection.Vector;
import java.util.function.Function;

/**
 * The outcome of one decision: the next state, and what is to be done about it.
 *
 * @param state the next state
 * @param effects what is to be done, in order
 */
public record Step<S, E>(S state, Vector<E> effects) {
  /** A step that changes the state alone. */
  public static <S, E> Step<S, E> to(S state) {
    return new Step<>(state, Vector.empty());
  }

  /** A step with one effect. */
  public static <S, E> Step<S, E> to(S state, E effect) {
    return new Step<>(state, Vector.of(effect));
  }

  /** A step with several effects. */
  public static <S, E> Step<S, E> to(S state, Vector<E> effects) {
    return new Step<>(state, effects);
  }

  /** Goes on from the state reached; the effects of both steps stay in order. */
  public Step<S, E> then(Function<S, Step<S, E>> next) {
    Step<S, E> after = next.apply(state);
    return new Step<>(after.state, effects.appendAll(after.effects));
  }

  /** This step with one more effect. */
  public Step<S, E> with(E effect) {
    return new Step<>(state, effects.append(effect));
  }

  /** This step with more effects. */
  public Step<S, E> withAll(Iterable<? extends E> more) {
    return new Step<>(state, effects.appendAll(more));
  }
}

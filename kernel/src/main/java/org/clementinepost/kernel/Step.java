package org.clementinepost.kernel;

import io.vavr.collection.Vector;

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
}

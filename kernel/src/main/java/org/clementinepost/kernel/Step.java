package org.clementinepost.kernel;

import io.vavr.collection.Vector;
import java.util.function.Function;

/**
 * The result of a {@link Decision}: the next state and the effects to perform.
 *
 * @param state the next state
 * @param effects the effects, in the order in which they are performed
 */
public record Step<S, E>(S state, Vector<E> effects) {
  /** Returns a step without effects. */
  public static <S, E> Step<S, E> to(S state) {
    return new Step<>(state, Vector.empty());
  }

  /** Returns a step with one effect. */
  public static <S, E> Step<S, E> to(S state, E effect) {
    return new Step<>(state, Vector.of(effect));
  }

  /** Returns a step with several effects. */
  public static <S, E> Step<S, E> to(S state, Vector<E> effects) {
    return new Step<>(state, effects);
  }

  /** Applies a further step to this step's state and appends its effects. */
  public Step<S, E> then(Function<S, Step<S, E>> next) {
    Step<S, E> following = next.apply(state);
    return new Step<>(following.state, effects.appendAll(following.effects));
  }

  /** Returns this step with one more effect. */
  public Step<S, E> with(E effect) {
    return new Step<>(state, effects.append(effect));
  }

  /** Returns this step with more effects. */
  public Step<S, E> withAll(Iterable<? extends E> more) {
    return new Step<>(state, effects.appendAll(more));
  }
}

package org.clementinepost.kernel;

/** Performs the effects that a decision returns. */
@FunctionalInterface
public interface EffectHandler<E> {
  /** Starts one effect without waiting for it to complete. */
  void handle(E effect);
}

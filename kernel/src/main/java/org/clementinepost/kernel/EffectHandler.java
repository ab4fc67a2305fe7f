package org.clementinepost.kernel;

/** Carries out the effects that a decision has asked for. */
@FunctionalInterface
public interface EffectHandler<E> {
  /** Carries out one effect, without waiting for it. */
  void handle(E effect);
}

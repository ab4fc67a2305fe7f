package org.clementinepost.kernel;

/** Finds kernel services by name. */
@FunctionalInterface
public interface Registry {
  /**
   * Finds the address of a service.
   *
   * <p>The name is resolved at each send, so that services may be looked up before they start. A
   * message to a name that nobody has is answered with {@link Delivery#STOPPED}.
   */
  <M> Address<M> find(ServiceName<M> name);
}

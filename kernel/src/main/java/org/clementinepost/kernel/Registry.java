package org.clementinepost.kernel;

/** Finds kernel services by name. */
@FunctionalInterface
public interface Registry {
  /**
   * Returns the address of a service.
   *
   * <p>Services can be looked up before they start. Sending to a name without a service returns
   * {@link Delivery#STOPPED}.
   */
  <M> Address<M> find(ServiceName<M> name);
}

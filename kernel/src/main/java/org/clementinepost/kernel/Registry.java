package org.clementinepost.kernel;

import io.vavr.collection.Vector;

/** Finds kernel services by name. */
public interface Registry {
  /**
   * Returns the address of a service.
   *
   * <p>Services can be looked up before they start. Sending to a name without a service returns
   * {@link Delivery#STOPPED}.
   */
  <M> Address<M> find(ServiceName<M> name);

  /** Returns how far each service has come with its messages. */
  Vector<TaskProgress> progress();
}

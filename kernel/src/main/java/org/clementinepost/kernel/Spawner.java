package org.clementinepost.kernel;

/** Starts tasks that others do not find by name, such as one for each connection. */
@FunctionalInterface
public interface Spawner {
  /** Starts a task; whoever started it stops it. */
  <M> SpawnedTask<M> spawn(ServiceDefinition<M> definition);
}

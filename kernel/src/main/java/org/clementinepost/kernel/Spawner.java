package org.clementinepost.kernel;

/** Starts tasks without a registered name, such as one per connection. */
@FunctionalInterface
public interface Spawner {
  /** Starts a task, which the caller must stop. */
  <M> SpawnedTask<M> spawn(ServiceDefinition<M> definition);
}

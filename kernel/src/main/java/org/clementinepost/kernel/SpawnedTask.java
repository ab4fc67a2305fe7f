package org.clementinepost.kernel;

import reactor.core.Disposable;

/**
 * A running task without a registered name.
 *
 * @param address the address of the task
 * @param stop stops the task
 */
public record SpawnedTask<M>(Address<M> address, Disposable stop) {}

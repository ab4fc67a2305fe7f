package org.clementinepost.kernel;

import reactor.core.Disposable;

/**
 * A running task without a registered name.
 *
 * @param address where its messages are sent
 * @param stop stops it
 */
public record SpawnedTask<M>(Address<M> address, Disposable stop) {}

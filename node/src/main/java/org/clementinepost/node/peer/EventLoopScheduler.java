package org.clementinepost.node.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.HttpResources;
import reactor.netty.resources.LoopResources;

/**
 * Runs tasks on the event loop threads that serve the sockets.
 *
 * <p>A request passes through many tasks. With a thread for each task, every message would wake up
 * a thread; on the event loops it costs no context switch. Tasks must not block.
 */
public final class EventLoopScheduler implements Scheduler {
  private final Vector<Scheduler> loops;
  private final AtomicInteger next = new AtomicInteger();

  private EventLoopScheduler(Vector<Scheduler> loops) {
    this.loops = loops;
  }

  /** Returns a scheduler on the event loops that all sockets of this process share. */
  public static EventLoopScheduler shared() {
    EventLoopGroup group = HttpResources.get().onServer(LoopResources.DEFAULT_NATIVE);
    return new EventLoopScheduler(
        Vector.ofAll(group).map((EventExecutor loop) -> Schedulers.fromExecutorService(loop)));
  }

  private Scheduler nextLoop() {
    return loops.get(Math.floorMod(next.getAndIncrement(), loops.size()));
  }

  @Override
  public Disposable schedule(Runnable task) {
    return nextLoop().schedule(task);
  }

  @Override
  public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
    return nextLoop().schedule(task, delay, unit);
  }

  @Override
  public Disposable schedulePeriodically(
      Runnable task, long initialDelay, long period, TimeUnit unit) {
    return nextLoop().schedulePeriodically(task, initialDelay, period, unit);
  }

  @Override
  public Worker createWorker() {
    return nextLoop().createWorker();
  }
}

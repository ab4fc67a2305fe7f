package org.clementinepost.kernel;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Starts services, lets them find each other by name, and stops them in reverse order.
 *
 * <p>The timer is the only service that the kernel provides; all others are added through the
 * builder.
 */
public final class Kernel implements Registry, Disposable {
  private final Map<String, Mailbox<?>> mailboxes;
  private volatile boolean stopped;

  private Kernel(Map<String, Mailbox<?>> mailboxes) {
    this.mailboxes = mailboxes;
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public <M> Address<M> find(ServiceName<M> name) {
    return mailboxes
        .get(name.text())
        .map(mailbox -> Kernel.<M>castAddress(mailbox))
        .getOrElse(() -> message -> Delivery.STOPPED);
  }

  @Override
  public Vector<TaskProgress> progress() {
    return mailboxes.values().map(mailbox -> mailbox.progress()).toVector();
  }

  @SuppressWarnings("unchecked") // A service name is registered once, with its message type.
  private static <M> Address<M> castAddress(Mailbox<?> mailbox) {
    return (Address<M>) mailbox;
  }

  @Override
  public boolean isDisposed() {
    return stopped;
  }

  /** Stops all services in reverse order of their start. */
  @Override
  public void dispose() {
    stopped = true;
    mailboxes.values().reverse().forEach(Mailbox::dispose);
  }

  /** Builds and starts a kernel. */
  public static final class Builder {
    private Vector<ServiceDefinition<?>> definitions = Vector.empty();
    private Scheduler scheduler;
    private MonotonicClock clock = MonotonicClock.system();
    private long seed;

    private Builder() {}

    /** Sets the scheduler on which all tasks run. */
    public Builder scheduler(Scheduler value) {
      scheduler = value;
      return this;
    }

    /** Sets the clock that tasks read. */
    public Builder clock(MonotonicClock value) {
      clock = value;
      return this;
    }

    /** Sets the seed of the tasks' random numbers. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Adds a service; services start in the order in which they are added. */
    public Builder service(ServiceDefinition<?> definition) {
      definitions = definitions.append(definition);
      return this;
    }

    /** Adds services in the given order. */
    public Builder services(Iterable<ServiceDefinition<?>> more) {
      definitions = definitions.appendAll(more);
      return this;
    }

    /** Starts the services and returns their kernel. */
    public Kernel start() {
      Vector<ServiceDefinition<?>> all = definitions.prepend(TimerService.definition());
      Map<String, Mailbox<?>> mailboxes = LinkedHashMap.empty();
      for (ServiceDefinition<?> definition : all) {
        String name = definition.name().text();
        if (mailboxes.containsKey(name)) {
          throw new IllegalArgumentException("two services have the name " + name);
        }
        mailboxes = mailboxes.put(name, newMailbox(definition));
      }
      Kernel kernel = new Kernel(mailboxes);
      TaskStarter starter = new TaskStarter(kernel, scheduler, clock, seed);
      all.forEach(definition -> startRegistered(kernel, starter, definition));
      return kernel;
    }

    private <M> Mailbox<M> newMailbox(ServiceDefinition<M> definition) {
      return new Mailbox<>(definition.name().text(), definition.mailboxCapacity(), scheduler);
    }

    @SuppressWarnings("unchecked") // The mailbox was created for this definition.
    private static <M> void startRegistered(
        Kernel kernel, TaskStarter starter, ServiceDefinition<M> definition) {
      Mailbox<?> mailbox = kernel.mailboxes.get(definition.name().text()).get();
      starter.start((Mailbox<M>) mailbox, definition);
    }
  }
}

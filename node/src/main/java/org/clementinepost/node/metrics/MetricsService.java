package org.clementinepost.node.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;

/**
 * Owns the node's metrics and updates them on messages from the other services.
 *
 * <p>An update is dropped when the mailbox is full, so metrics never delay a request.
 */
public final class MetricsService implements Behaviour<MetricsMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<MetricsMessage> NAME =
      ServiceName.of("metrics", MetricsMessage.class);

  private final MetricRegistry registry = new MetricRegistry();

  private MetricsService() {}

  /** Returns the definition of the service. */
  public static ServiceDefinition<MetricsMessage> definition() {
    return new ServiceDefinition<>(
        NAME, ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES, context -> new MetricsService());
  }

  @Override
  public void receive(MetricsMessage message) {
    if (message instanceof MetricsMessage.IncrementCounter increment) {
      registry.counter(increment.name()).inc();
      return;
    }
    if (message instanceof MetricsMessage.AddToCounter add) {
      registry.counter(add.name()).inc(add.number());
      return;
    }
    if (message instanceof MetricsMessage.RecordDuration duration) {
      registry.timer(duration.name()).update(duration.micros(), TimeUnit.MICROSECONDS);
      return;
    }
    if (message instanceof MetricsMessage.SetGauge update) {
      SettableGauge<Long> gauge = registry.gauge(update.name());
      gauge.setValue(update.value());
      return;
    }
    MetricsMessage.Render render = (MetricsMessage.Render) message;
    render.reply().send(render.format().render(registry));
  }
}

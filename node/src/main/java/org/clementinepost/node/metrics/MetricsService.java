package org.clementinepost.node.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.concurrent.TimeUnit;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;

/**
 * Owns the node's metrics; the other services tell it what they count.
 *
 * <p>A metric that finds the mailbox full is left out: counting never holds a request up.
 */
public final class MetricsService implements Behaviour<MetricsMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<MetricsMessage> NAME =
      ServiceName.of("metrics", MetricsMessage.class);

  private final MetricRegistry registry = new MetricRegistry();

  private MetricsService() {}

  /** Defines the service. */
  public static ServiceDefinition<MetricsMessage> definition() {
    return new ServiceDefinition<>(
        NAME, ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES, context -> new MetricsService());
  }

  @Override
  public void receive(MetricsMessage message) {
    if (message instanceof MetricsMessage.IncrementCounter counted) {
      registry.counter(counted.name()).inc();
      return;
    }
    if (message instanceof MetricsMessage.RecordDuration timed) {
      registry.timer(timed.name()).update(timed.micros(), TimeUnit.MICROSECONDS);
      return;
    }
    if (message instanceof MetricsMessage.SetGauge measured) {
      SettableGauge<Long> gauge = registry.gauge(measured.name());
      gauge.setValue(measured.value());
      return;
    }
    MetricsMessage.Render render = (MetricsMessage.Render) message;
    render.reply().send(render.format().render(registry));
  }
}

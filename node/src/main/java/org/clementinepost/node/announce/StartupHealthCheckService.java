package org.clementinepost.node.announce;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelOption;
import io.vavr.control.Option;
import java.time.Duration;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ServiceId;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.policy.host.HealthResponseReader;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Checks the health of the backend server on this VM when the node starts.
 *
 * <p>A node that restarts beside a running backend server can thus send it requests before its next
 * announcement. The checks end at the first success, at the first announcement, or after a few
 * failures.
 */
public final class StartupHealthCheckService implements Behaviour<StartupHealthCheckMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<StartupHealthCheckMessage> NAME =
      ServiceName.of("first-look", StartupHealthCheckMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_CHECKS = 4;
  private static final long RETRY_DELAY_MILLIS = 400;
  private static final Duration CHECK_TIMEOUT = Duration.ofMillis(800);
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private final TaskContext<StartupHealthCheckMessage> context;
  private final NetworkAddress address;
  private final ServiceId service;
  private final HealthResponseReader reader;
  private Option<String> healthPath = Option.none();
  private int checks;
  private boolean done;

  private StartupHealthCheckService(
      TaskContext<StartupHealthCheckMessage> context,
      NetworkAddress address,
      ServiceId service,
      HealthResponseReader reader) {
    this.context = context;
    this.address = address;
    this.service = service;
    this.reader = reader;
    ConfigurationService.subscribe(context, StartupHealthCheckMessage.Configured::new);
  }

  /**
   * Returns the definition of the service.
   *
   * @param address the address of the backend server on this VM
   * @param service the service to which the backend server belongs
   * @param reader reads the response to a health check
   */
  public static ServiceDefinition<StartupHealthCheckMessage> definition(
      NetworkAddress address, ServiceId service, HealthResponseReader reader) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new StartupHealthCheckService(context, address, service, reader));
  }

  @Override
  public void receive(StartupHealthCheckMessage message) {
    if (done) {
      return;
    }
    if (message instanceof StartupHealthCheckMessage.Configured configured) {
      onConfigured(configured);
      return;
    }
    if (message instanceof StartupHealthCheckMessage.Announced) {
      done = true;
      return;
    }
    if (message instanceof StartupHealthCheckMessage.CheckCompleted completed) {
      onCheckCompleted(completed.discovered());
      return;
    }
    check();
  }

  private void onConfigured(StartupHealthCheckMessage.Configured configured) {
    boolean pathWasUnknown = healthPath.isEmpty();
    healthPath = configured.snapshot().services().get(service).map(found -> found.healthPath());
    if (pathWasUnknown && healthPath.isDefined()) {
      check();
    }
  }

  private void check() {
    if (healthPath.isEmpty()) {
      return;
    }
    checks++;
    HttpClient.newConnection()
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .get()
        .uri("http://" + address + healthPath.get())
        .response((response, body) -> Mono.just(read(response)))
        .single()
        .timeout(CHECK_TIMEOUT)
        .onErrorResume(
            error -> {
              logger.atInfo().log("event=first-look-failed detail=%s", error.getMessage());
              return Mono.just(Option.none());
            })
        .subscribe(
            discovered ->
                context.self().send(new StartupHealthCheckMessage.CheckCompleted(discovered)));
  }

  private Option<Announcement> read(HttpClientResponse response) {
    return reader.read(
        service,
        address,
        response.status().code(),
        name -> Option.of(response.responseHeaders().get(name)));
  }

  private void onCheckCompleted(Option<Announcement> discovered) {
    if (discovered.isDefined()) {
      done = true;
      logger.atInfo().log("event=first-look server=%s looks=%d", discovered.get().server(), checks);
      context.registry().find(HostService.NAME).send(new HostMessage.Discovered(discovered.get()));
      return;
    }
    done = checks >= MAX_CHECKS;
    if (!done) {
      context.sendAfter(NAME.text(), RETRY_DELAY_MILLIS, new StartupHealthCheckMessage.Retry());
    }
  }
}

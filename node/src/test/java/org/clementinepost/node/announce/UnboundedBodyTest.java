package org.clementinepost.node.announce;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.testing.backend.RawServerStandIn;
import org.clementinepost.testing.backend.RawServerStandIn.RawResponse;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/**
 * Checks that bodies of unlimited length, in an announcement or in the response to a health check,
 * are not read to the end.
 */
final class UnboundedBodyTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int WRITE_BYTES = 8_192;

  /** Far more than the limit of the service and the buffers of the sockets. */
  private static final long CONTENT_LENGTH_BYTES = 64L << 20;

  private static final String HEAD =
      "POST /announce HTTP/1.1\r\nHost: node\r\nContent-Length: "
          + CONTENT_LENGTH_BYTES
          + "\r\n\r\n";

  private final Sinks.One<HostMessage> hostMessage = Sinks.one();

  private Kernel.Builder kernel() {
    return Kernel.builder()
        .scheduler(Schedulers.parallel())
        .service(
            new ServiceDefinition<>(
                HostService.NAME, 100, context -> message -> hostMessage.tryEmitValue(message)));
  }

  @Test
  void stopsReadingTooLongAnnouncement() throws Exception {
    Kernel kernel =
        kernel()
            .service(
                AnnounceService.definition(
                    new NetworkAddress("127.0.0.1", 0), AnnounceService.DEFAULT_PROTOCOL))
            .start();
    int port =
        Mono.<Integer>create(
                sink ->
                    kernel
                        .find(AnnounceService.NAME)
                        .send(new AnnounceMessage.GetPort(sink::success)))
            .block(TIMEOUT);

    long sentBytes = sendUntilClosed(port);

    kernel.dispose();
    assertThat(sentBytes).isLessThan(CONTENT_LENGTH_BYTES);
  }

  private static long sendUntilClosed(int port) throws IOException {
    long sentBytes = 0;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(HEAD.getBytes(StandardCharsets.ISO_8859_1));
      while (sentBytes < CONTENT_LENGTH_BYTES) {
        socket.getOutputStream().write(new byte[WRITE_BYTES]);
        sentBytes += WRITE_BYTES;
      }
    } catch (SocketException e) {
      // The node is expected to close the connection before all bytes are sent.
      return sentBytes;
    }
    return sentBytes;
  }

  @Test
  void discoversServerByHeadOfEndlessHealthResponse() {
    RawServerStandIn server =
        RawServerStandIn.start(request -> RawResponse.endless("HTTP/1.1 200 OK\r\n\r\n", "x"));
    ServiceId service = new ServiceId("s");
    Kernel kernel =
        kernel()
            .service(
                StartupHealthCheckService.definition(
                    server.address(),
                    service,
                    (name, address, status, headers) -> servingAnnouncement(name, address)))
            .start();

    kernel
        .find(StartupHealthCheckService.NAME)
        .send(
            new StartupHealthCheckMessage.Configured(
                Snapshot.empty().with(new Service(service, 50, 1, 2_000, 0, 1))));

    assertThat(hostMessage.asMono().block(TIMEOUT)).isInstanceOf(HostMessage.Discovered.class);
    kernel.dispose();
    server.close();
  }

  private static Option<Announcement> servingAnnouncement(
      ServiceId service, NetworkAddress address) {
    return Option.some(
        new Announcement(
            new BackendServerId("b"),
            service,
            address,
            1,
            1,
            Announcement.State.SERVING,
            0,
            0,
            0,
            Option.none()));
  }
}

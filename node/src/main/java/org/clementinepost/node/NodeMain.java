package org.clementinepost.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.node.settings.NodeSettingsReader;
import org.clementinepost.platform.InMemoryPlatform;
import org.clementinepost.platform.PlatformService;
import org.clementinepost.platform.PlatformSettings;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The binary {@code clementinepost}: runs one node until it is told to stop. */
public final class NodeMain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String SETTINGS = "settings";

  private NodeMain() {}

  /** Runs the binary. */
  public static void main(String[] arguments) {
    Either<Failure, NodeSettings> settings = settings(arguments);
    if (settings.isLeft()) {
      Failure failure = settings.getLeft();
      System.err.println(
          "error "
              + failure.code().number()
              + " "
              + failure.code().title()
              + ": "
              + failure.detail());
      System.exit(failure.code().exitCode());
    }
    run(settings.get());
  }

  private static Either<Failure, NodeSettings> settings(String[] arguments) {
    Options options =
        new Options().addOption(Option.builder().longOpt(SETTINGS).hasArg().required().get());
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      return NodeSettingsReader.read(Path.of(line.getOptionValue(SETTINGS)));
    } catch (ParseException e) {
      return Either.left(Failure.of(ResultCode.USAGE, e.getMessage()));
    }
  }

  private static void run(NodeSettings settings) {
    Node node = Node.start(settings, platform(settings), System.currentTimeMillis());
    Sinks.Empty<Void> stopped = Sinks.empty();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  node.dispose();
                  stopped.tryEmitEmpty();
                }));
    Mono.zip(node.ingressPort(), node.announcePort())
        .subscribe(ports -> announce(settings, node, ports.getT1(), ports.getT2()));
    stopped.asMono().block();
  }

  private static void announce(NodeSettings settings, Node node, int ingress, int announce) {
    logger.atInfo().log(
        "event=node-started node=%s incarnation=%d", node.self().node(), node.self().incarnation());
    System.out.println(
        "listening {\"node\":\""
            + settings.node()
            + "\",\"ingress\":"
            + ingress
            + ",\"announce\":"
            + announce
            + ",\"peer\":"
            + node.self().peerAddress().port()
            + "}");
  }

  private static ServiceDefinition<PlatformService.Message> platform(NodeSettings settings) {
    return settings
        .platform()
        .map(
            address ->
                PlatformService.definition(
                    PlatformSettings.builder()
                        .tableUrl(address.tableUrl())
                        .objectsUrl(address.objectsUrl())
                        .build()))
        .getOrElse(() -> PlatformService.definition(InMemoryPlatform.create()));
  }
}

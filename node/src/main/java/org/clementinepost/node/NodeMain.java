package org.clementinepost.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.PrintWriter;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.node.settings.NodeSettingsReader;
import org.clementinepost.node.settings.SettingsFinding;
import org.clementinepost.node.settings.SettingsReference;
import org.clementinepost.platform.StoreClient;
import org.clementinepost.storage.PlatformService;
import org.clementinepost.storage.config.source.Finding;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import sun.misc.Signal;

/** The binary {@code clementinepost}: runs one node until it is told to stop. */
public final class NodeMain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final String RELOAD_SIGNAL = "HUP";
  private static final Vector<String> STOP_SIGNALS = Vector.of("TERM", "INT");

  /** What a process ends with after a signal, by the convention of shells: this and its number. */
  private static final int SIGNAL_EXIT_BASE = 128;

  private final PrintWriter out;
  private final PrintWriter err;

  NodeMain(PrintWriter out, PrintWriter err) {
    this.out = out;
    this.err = err;
  }

  /** Runs the binary. */
  public static void main(String[] arguments) {
    NodeMain main =
        new NodeMain(
            new PrintWriter(System.out, true, StandardCharsets.UTF_8),
            new PrintWriter(System.err, true, StandardCharsets.UTF_8));
    int exitCode = main.run(arguments);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  int run(String... arguments) {
    Either<Failure, NodeCommandLine> line = NodeCommandLine.parse(arguments);
    if (line.isLeft()) {
      NodeCommandLine.printHelp(err);
      return printFailure(line.getLeft());
    }
    return switch (line.get().action()) {
      case HELP -> help();
      case VERSION -> print("clementinepost " + Version.current());
      case SETTINGS_REFERENCE -> print(SettingsReference.markdown().stripTrailing());
      case CHECK, RUN -> runOrCheck(line.get());
    };
  }

  private int help() {
    NodeCommandLine.printHelp(out);
    return ResultCode.OK.exitCode();
  }

  private int print(String text) {
    out.println(text);
    return ResultCode.OK.exitCode();
  }

  private int printFailure(Failure failure) {
    err.println(
        "error "
            + failure.code().number()
            + " "
            + failure.code().title()
            + ": "
            + failure.detail());
    return failure.code().exitCode();
  }

  private int runOrCheck(NodeCommandLine line) {
    Either<Vector<SettingsFinding>, NodeSettings> settings =
        NodeSettingsReader.read(Path.of(line.settingsFile()));
    if (settings.isLeft()) {
      settings.getLeft().forEach(finding -> err.println(finding.format()));
      return settings.getLeft().head().code().exitCode();
    }
    Either<Vector<Finding>, PlatformAdapter> backing = platformAdapter(settings.get());
    if (backing.isLeft()) {
      backing.getLeft().forEach(finding -> err.println(formatFinding(finding)));
      return backing.getLeft().head().code().exitCode();
    }
    if (line.action() == NodeCommandLine.Action.CHECK) {
      return print("settings are in order");
    }
    return start(line.settingsFile(), settings.get(), backing.get());
  }

  private static String formatFinding(Finding finding) {
    return "error "
        + finding.code().number()
        + " "
        + finding.file()
        + finding.pointer()
        + ": "
        + finding.problem()
        + "; "
        + finding.hint();
  }

  private static Either<Vector<Finding>, PlatformAdapter> platformAdapter(NodeSettings settings) {
    if (settings.rowStore().isDefined()) {
      return Either.right(
          PlatformAdapter.rowStore(
              new StoreClient(settings.rowStore().get()), settings.quotaTolerance()));
    }
    if (settings.platform().isDefined()) {
      return Either.right(
          PlatformAdapter.tableAndObjects(PlatformService.definition(settings.platform().get())));
    }
    return settings
        .embeddedObjectsFolder()
        .map(folder -> EmbeddedPlatform.fromFolder(Path.of(folder)))
        .getOrElse(() -> Either.right(EmbeddedPlatform.empty()))
        .map(PlatformService::definition)
        .map(PlatformAdapter::tableAndObjects);
  }

  private int start(String settingsFile, NodeSettings settings, PlatformAdapter backing) {
    try {
      Node node = Node.start(settings, backing, System.currentTimeMillis());
      STOP_SIGNALS.forEach(name -> Signal.handle(new Signal(name), signal -> stop(node, signal)));
      Signal.handle(new Signal(RELOAD_SIGNAL), signal -> reload(node, settingsFile));
      NodePorts ports = node.ports().block();
      logger.atInfo().log(
          "event=node-started node=%s incarnation=%d",
          node.self().node(), node.self().incarnation());
      out.println("listening " + ports.toJson());
      Mono.never().block();
      return ResultCode.OK.exitCode();
    } catch (Exception e) {
      return printFailure(Failure.of(startFailureCode(e), String.valueOf(e.getMessage())));
    }
  }

  /**
   * Stops the node before the virtual machine begins to go.
   *
   * <p>A shutdown hook would run beside the one that closes the log, and what the stop tells would
   * be lost.
   */
  private static void stop(Node node, Signal signal) {
    node.stop();
    System.exit(SIGNAL_EXIT_BASE + signal.getNumber());
  }

  /** A file that cannot be read changes nothing. */
  private static void reload(Node node, String settingsFile) {
    NodeSettingsReader.read(Path.of(settingsFile))
        .peek(
            settings -> {
              logger.atInfo().log("event=settings-reloaded node=%s", settings.node());
              node.reload(settings);
            })
        .peekLeft(
            findings ->
                findings.forEach(
                    finding ->
                        logger.atWarning().log("event=settings-refused %s", finding.format())));
  }

  private static ResultCode startFailureCode(Exception error) {
    boolean port = error.getCause() instanceof BindException || error instanceof BindException;
    return port || error instanceof ChannelBindException
        ? ResultCode.PORT_UNAVAILABLE
        : ResultCode.INTERNAL;
  }
}

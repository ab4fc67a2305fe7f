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
import reactor.netty.ChannelBindException;
import sun.misc.Signal;

/** The main class of {@code clementinepost}: runs one node until a signal stops it. */
public final class NodeMain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final String RELOAD_SIGNAL = "HUP";
  private static final Vector<String> STOP_SIGNALS = Vector.of("TERM", "INT");

  /** Added to a signal's number to give the exit code, by the convention of shells. */
  private static final int SIGNAL_EXIT_BASE = 128;

  private final PrintWriter out;
  private final PrintWriter err;

  NodeMain(PrintWriter out, PrintWriter err) {
    this.out = out;
    this.err = err;
  }

  /** Runs the command and exits with its exit code if that is not zero. */
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
    Either<Vector<Finding>, PlatformAdapter> platformAdapter = platformAdapter(settings.get());
    if (platformAdapter.isLeft()) {
      platformAdapter.getLeft().forEach(finding -> err.println(formatFinding(finding)));
      return platformAdapter.getLeft().head().code().exitCode();
    }
    if (line.action() == NodeCommandLine.Action.CHECK) {
      return print("settings are in order");
    }
    return start(line.settingsFile(), settings.get(), platformAdapter.get());
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

  private int start(String settingsFile, NodeSettings settings, PlatformAdapter platformAdapter) {
    try {
      Node node = Node.start(settings, platformAdapter, System.currentTimeMillis());
      STOP_SIGNALS.forEach(name -> Signal.handle(new Signal(name), signal -> stop(node, signal)));
      Signal.handle(new Signal(RELOAD_SIGNAL), signal -> reload(node, settingsFile));
      NodePorts ports = node.ports().block();
      logger.atInfo().log(
          "event=node-started node=%s incarnation=%d",
          node.self().node(), node.self().incarnation());
      out.println("listening " + ports.toJson());
      return printFailure(node.failure().block());
    } catch (Exception e) {
      return printFailure(Failure.of(startFailureCode(e), String.valueOf(e.getMessage())));
    }
  }

  /**
   * Stops the node before the shutdown of the JVM begins.
   *
   * <p>A shutdown hook would run concurrently with the hook that closes the log, and log lines of
   * the stop would be lost.
   */
  private static void stop(Node node, Signal signal) {
    node.stop();
    System.exit(SIGNAL_EXIT_BASE + signal.getNumber());
  }

  /** Reads the settings file again; an invalid file is logged and changes nothing. */
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
    boolean portUnavailable =
        error.getCause() instanceof BindException || error instanceof BindException;
    return portUnavailable || error instanceof ChannelBindException
        ? ResultCode.PORT_UNAVAILABLE
        : ResultCode.INTERNAL;
  }
}

package org.clementinepost.testing.backend;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.clementinepost.testing.CommandLines;
import org.clementinepost.testing.StandInProcess;

/** Runs the stand-in of a backend server as a process. */
public final class BackendServerStandInMain {
  private static final int DEFAULT_SLOTS = 5;
  private static final int DEFAULT_MAX_CONNECTIONS = 350;
  private static final int DEFAULT_ANNOUNCE_PERIOD_MILLIS = 1_000;
  private static final int DEFAULT_LATENCY_MILLIS = 1;
  private static final int DEFAULT_COLD_START_MILLIS = 0;
  private static final int DEFAULT_COLD_SLOTS = 1;
  private static final int DEFAULT_MIN_DRAIN_MILLIS = 2_000;

  private BackendServerStandInMain() {}

  /** Serves requests until the process receives a signal; drains before it exits. */
  public static void main(String[] args) {
    StandInProcess.run(
        "backend-server-stand-in",
        options(),
        args,
        line -> BackendServerStandIn.start(settings(line)));
  }

  private static Options options() {
    Options options = new Options();
    CommandLines.addOption(options, "id", "name of the server (default backend-1)");
    CommandLines.addOption(options, "service", "service of the server (default echo)");
    CommandLines.addOption(options, "domain", "failure domain of the server (default domain-a)");
    CommandLines.addOption(options, "slots", "concurrent requests (default 5)");
    CommandLines.addOption(
        options, "connections", "maximum connections that it announces (default 350)");
    CommandLines.addOption(options, "announce", "root URL of its node (default: no announcements)");
    CommandLines.addOption(options, "announce-millis", "time between announcements (default 1000)");
    CommandLines.addOption(options, "host", "IP address to listen on (default 127.0.0.1)");
    CommandLines.addOption(options, "port", "port to listen on (default: a free port)");
    CommandLines.addOption(options, "latency-millis", "latency of a request (default 1)");
    CommandLines.addOption(options, "cold-start-millis", "duration of a cold start (default 0)");
    CommandLines.addOption(
        options, "cold-slots", "concurrent requests during a cold start (default 1)");
    CommandLines.addOption(
        options, "drain-millis", "minimum time between draining and stopping (default 2000)");
    return options;
  }

  private static BackendSettings settings(CommandLine line) {
    return BackendSettings.builder()
        .id(line.getOptionValue("id", "backend-1"))
        .service(line.getOptionValue("service", "echo"))
        .failureDomain(line.getOptionValue("domain", "domain-a"))
        .slots(CommandLines.intValue(line, "slots", DEFAULT_SLOTS))
        .maxConnections(CommandLines.intValue(line, "connections", DEFAULT_MAX_CONNECTIONS))
        .announceUrl(line.getOptionValue("announce"))
        .announcePeriodMillis(
            CommandLines.intValue(line, "announce-millis", DEFAULT_ANNOUNCE_PERIOD_MILLIS))
        .host(line.getOptionValue("host", "127.0.0.1"))
        .port(CommandLines.intValue(line, "port", 0))
        .latencyMillis(CommandLines.intValue(line, "latency-millis", DEFAULT_LATENCY_MILLIS))
        .coldStartMillis(
            CommandLines.intValue(line, "cold-start-millis", DEFAULT_COLD_START_MILLIS))
        .coldSlots(CommandLines.intValue(line, "cold-slots", DEFAULT_COLD_SLOTS))
        .minDrainMillis(CommandLines.intValue(line, "drain-millis", DEFAULT_MIN_DRAIN_MILLIS))
        .build();
  }
}

package org.clementinepost.testing.backend;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.clementinepost.testing.CommandLines;
import org.clementinepost.testing.StandInProcess;

/** Runs a backend server's stand-in as a process. */
public final class BackendServerStandInMain {
  private static final int DEFAULT_SLOTS = 5;
  private static final int DEFAULT_MAX_CONNECTIONS = 350;
  private static final int DEFAULT_ANNOUNCE_PERIOD_MILLIS = 1_000;
  private static final int DEFAULT_LATENCY_MILLIS = 1;
  private static final int DEFAULT_COLD_START_MILLIS = 0;
  private static final int DEFAULT_COLD_SLOTS = 1;
  private static final int DEFAULT_MIN_DRAIN_MILLIS = 2_000;

  private BackendServerStandInMain() {}

  /** Serves until a signal ends the process; it drains before it ends. */
  public static void main(String[] args) {
    StandInProcess.run(
        "backend-server-stand-in",
        options(),
        args,
        line -> BackendServerStandIn.start(settings(line)));
  }

  private static Options options() {
    Options options = new Options();
    CommandLines.addOption(options, "id", "its name; backend-1 by default");
    CommandLines.addOption(options, "service", "its service; echo by default");
    CommandLines.addOption(options, "domain", "its failure domain; domain-a by default");
    CommandLines.addOption(options, "slots", "requests that it runs at once; 5 by default");
    CommandLines.addOption(options, "connections", "connections that it announces; 350 by default");
    CommandLines.addOption(
        options, "announce", "the root of its node; announces nowhere by default");
    CommandLines.addOption(
        options, "announce-millis", "the time between announcements; 1000 by default");
    CommandLines.addOption(options, "host", "the IP number to listen on; 127.0.0.1 by default");
    CommandLines.addOption(options, "port", "the port to listen on; a free one by default");
    CommandLines.addOption(options, "latency-millis", "how long a request takes; 1 by default");
    CommandLines.addOption(
        options, "cold-start-millis", "how long a cold start lasts; 0 by default");
    CommandLines.addOption(options, "cold-slots", "slots during a cold start; 1 by default");
    CommandLines.addOption(
        options, "drain-millis", "least time from drain to leave; 2000 by default");
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

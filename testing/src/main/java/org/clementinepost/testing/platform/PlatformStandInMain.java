package org.clementinepost.testing.platform;

import org.apache.commons.cli.Options;
import org.clementinepost.testing.CommandLines;
import org.clementinepost.testing.StandInProcess;

/** Runs the platform's stand-in as a process. */
public final class PlatformStandInMain {
  private static final int DEFAULT_PORT = 8_000;

  private PlatformStandInMain() {}

  /** Serves until a signal ends the process. */
  public static void main(String[] args) {
    Options options = new Options();
    CommandLines.addOption(options, "host", "the IP number to listen on; 127.0.0.1 by default");
    CommandLines.addOption(
        options, "port", "the port to listen on; 8000 by default, 0 for a free one");
    StandInProcess.run(
        "platform-stand-in",
        options,
        args,
        line ->
            PlatformStandIn.start(
                line.getOptionValue("host", "127.0.0.1"),
                CommandLines.intValue(line, "port", DEFAULT_PORT)));
  }
}

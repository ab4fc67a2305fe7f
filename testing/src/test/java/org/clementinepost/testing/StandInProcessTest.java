package org.clementinepost.testing;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinepost.testing.platform.PlatformStandInMain;
import org.junit.jupiter.api.Test;

/** Tests a stand-in that runs as a separate process. */
final class StandInProcessTest {
  private static final long MAX_WAIT_SECONDS = 60;

  private static Process start(String... arguments) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            System.getProperty("java.home") + "/bin/java",
            "-Xmx128m",
            "-cp",
            System.getProperty("java.class.path"),
            PlatformStandInMain.class.getName());
    builder.command().addAll(List.of(arguments));
    return builder.redirectError(ProcessBuilder.Redirect.INHERIT).start();
  }

  @Test
  void printsAddressAndRunsUntilSignal() throws Exception {
    Process process = start("--port", "0");
    try (BufferedReader output = process.inputReader()) {
      assertThat(output.readLine()).startsWith("listening {\"role\":\"platform\",\"tableUrl\":");
      assertThat(process.waitFor(1, TimeUnit.SECONDS)).isFalse();
      process.destroy();
      assertThat(process.waitFor(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void rejectsUnknownOption() throws Exception {
    Process process = start("--prot", "0");

    assertThat(process.waitFor(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isEqualTo(81);
  }
}

package org.clementinepost.node.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One process of the system under test. */
final class RunningProcess implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String LISTENING_PREFIX = "listening ";
  private static final long STOP_TIMEOUT_SECONDS = 60;

  private final Process process;
  private final BufferedReader out;
  private final JsonNode listening;

  private RunningProcess(Process process, BufferedReader out, JsonNode listening) {
    this.process = process;
    this.out = out;
    this.listening = listening;
  }

  /** Starts a main class and waits until it prints the ports that it listens on. */
  static RunningProcess start(Path log, Class<?> main, String... arguments) throws IOException {
    return start(log, Vector.empty(), main, arguments);
  }

  /** Starts a main class with JVM options. */
  static RunningProcess start(
      Path log, Vector<String> jvmOptions, Class<?> main, String... arguments) throws IOException {
    Vector<String> command =
        Vector.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"))
            .appendAll(jvmOptions)
            .append(main.getName())
            .appendAll(Vector.of(arguments));
    Process process = new ProcessBuilder(command.asJava()).redirectError(log.toFile()).start();
    BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      if (line.startsWith(LISTENING_PREFIX)) {
        return new RunningProcess(
            process, out, MAPPER.readTree(line.substring(LISTENING_PREFIX.length())));
      }
    }
    throw new IOException(main.getSimpleName() + " exited before it listened; see " + log);
  }

  String text(String field) {
    return listening.path(field).asText();
  }

  int port(String field) {
    return listening.path(field).asInt();
  }

  void kill() {
    process.destroyForcibly().onExit().join();
  }

  /** Sends SIGTERM and waits until the process has exited; its output can still be read. */
  void terminate() throws InterruptedException {
    process.toHandle().destroy();
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the process did not exit after SIGTERM");
    }
  }

  /** Returns the standard output that an ended process wrote after the line with its ports. */
  Vector<String> remainingOutput() {
    return Vector.ofAll(out.lines());
  }

  void freeze() throws IOException, InterruptedException {
    signal("STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    kill();
  }
}

package reviewkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node, started as a process of its own by the command of the deploy file. */
public final class Node implements AutoCloseable {
  private static final String SETTINGS_PATH = "/etc/clementinepost/local.json";
  private static final String LOAD_SETTINGS =
      "\"load\": {\"queries\": true, \"fairQueue\": false, \"secondAttempts\": true,"
          + " \"maxPipelinedRequests\": 16},";
  private static final int MIN_PORT = 12_000;
  private static final int PORT_RANGE = 18_000;

  private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

  private final Record record;
  private final Path work;
  private final String name;
  private final String zone;
  private final String storeAddress;
  private final boolean pipelining;
  private final int ingressPort = freePort();
  private final int peerPort = freePort();
  private final int announcePort = freePort();
  private final int operatorPort = freePort();
  private final int backendPort = freePort();
  private String service;
  private Process process;

  /**
   * Creates a node.
   *
   * @param pipelining whether the deployment has no evacuations, for which deploy/node.json.tmpl
   *     adds the settings under "load"
   */
  public Node(
      Record record,
      Path work,
      String name,
      String zone,
      String service,
      String storeAddress,
      boolean pipelining) {
    this.record = record;
    this.work = work;
    this.name = name;
    this.zone = zone;
    this.service = service;
    this.storeAddress = storeAddress;
    this.pipelining = pipelining;
    writeSettings();
  }

  public String name() {
    return name;
  }

  public String ingress() {
    return "127.0.0.1:" + ingressPort;
  }

  public String control() {
    return "127.0.0.1:" + announcePort;
  }

  public String ready() {
    return "127.0.0.1:" + operatorPort;
  }

  /** The port of the backend on the machine of this node. */
  public int backendPort() {
    return backendPort;
  }

  /** Writes the settings anew, as the platform does when the machine gets another service. */
  public void changeService(String next) {
    service = next;
    writeSettings();
    record.write("the settings of node %s name service %s", name, next);
  }

  private Path settingsFile() {
    return work.resolve(name + ".json");
  }

  /** Writes what deploy/node.json.tmpl gives with the bounds of a small deployment. */
  private void writeSettings() {
    String text =
        """
        {"nodeId": "%s", "failureDomain": "%s", "localService": "%s",
         "localServer": "127.0.0.1:%d", "ingress": "%s", "peer": "127.0.0.1:%d",
         "announce": "%s", "operator": "%s", "rowStore": {"address": "%s"},
         "keyWithdrawalMillis": 5000,
         "quota": {"toleratedShare": 0.1, "toleratedRequests": 20, "windowSeconds": 5},
         "retries": {"fraction": 0.2, "burst": 60},%s
         "farewellMillis": 2500, "stopGraceSeconds": 6}
        """
            .formatted(
                name, zone, service, backendPort, ingress(), peerPort, control(), ready(),
                storeAddress,
                pipelining ? LOAD_SETTINGS : "");
    try {
      Path next = work.resolve(name + ".json.next");
      Files.writeString(next, text);
      Files.move(next, settingsFile(), StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public void start() {
    try {
      ProcessBuilder builder = new ProcessBuilder(command());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("CLEMENTINEPOST_SETTINGS", settingsFile().toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
      process = builder.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    record.write("node %s starts, pid %d", name, process.pid());
  }

  /** Returns the run command of the deploy file, with the path of this node's settings. */
  private List<String> command() throws IOException {
    String deployFile = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deployFile);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run command");
    }
    List<String> words = new ArrayList<>();
    for (String word : run.group(1).split(" ")) {
      words.add(word.equals(SETTINGS_PATH) ? settingsFile().toString() : word);
    }
    return words;
  }

  public boolean isReady() {
    return Http.send(ready(), "GET", "/-/readiness", Map.of(), "", 1_000).status() == 200;
  }

  /** Returns the number of descriptors that the process holds; -1 if it can't be read. */
  public int descriptors() {
    String[] entries = Path.of("/proc", String.valueOf(process.pid()), "fd").toFile().list();
    return entries == null ? -1 : entries.length;
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends a signal to the process of this node. */
  public void signal(String signal) {
    record.write("node %s gets SIG%s", name, signal);
    try {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the process has ended; returns its exit status, or -1 if it still runs. */
  public int awaitEnd(long millis) {
    try {
      if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
        return -1;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
    record.write("node %s has ended, status %d", name, process.exitValue());
    return process.exitValue();
  }

  /** Returns a port on which no process listens, and that no other node of this case has got. */
  private static int freePort() {
    while (true) {
      int port = MIN_PORT + (int) (Math.random() * PORT_RANGE);
      try (ServerSocket socket =
          new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (GIVEN_PORTS.add(port)) {
          return socket.getLocalPort();
        }
      } catch (IOException e) {
        continue;
      }
    }
  }

  @Override
  public void close() {
    if (isAlive()) {
      process.destroyForcibly();
      awaitEnd(5_000);
    }
  }
}

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the store, one link to it for each machine, and the nodes as
 * processes of their own, started by the command of the deploy file with settings that are rendered
 * from its template.
 */
final class Deployment implements AutoCloseable {
  static final int REVOKE_MILLIS = 5_000;
  static final int CONFIG_APPLY_MILLIS = 2_000;
  private static final int FIRST_PORT = 12_000;
  private static final int PORTS = 18_000;
  private static final java.util.Random RANDOM = new java.util.Random();
  private static final java.util.Set<Integer> GIVEN_PORTS = new java.util.HashSet<>();

  /** A machine: its node, and the address kept for its backend. */
  final class Machine {
    final String name;
    final String zone;
    final Link link;
    final String ingress;
    final String peer;
    final String control;
    final String ready;
    final int backendPort;
    String service;
    Process process;

    private Machine(String name, String zone, String service) throws IOException {
      this.name = name;
      this.zone = zone;
      this.service = service;
      this.link = new Link(store.port());
      this.ingress = freeAddress();
      this.peer = freeAddress();
      this.control = freeAddress();
      this.ready = freeAddress();
      String app = freeAddress();
      this.backendPort = Integer.parseInt(app.substring(app.lastIndexOf(':') + 1));
    }

    Path settingsFile() {
      return folder.resolve(name + ".json");
    }

    /** Renders the settings file, as the platform does at a start and at a change. */
    void writeSettings() throws IOException {
      Path next = folder.resolve(name + ".json.next");
      Files.writeString(next, render(this));
      Files.move(
          next,
          settingsFile(),
          java.nio.file.StandardCopyOption.ATOMIC_MOVE,
          java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    void start() throws IOException {
      writeSettings();
      List<String> command = new ArrayList<>();
      for (String word : runCommand().split(" ")) {
        command.add(
            word.equals("/etc/clementinepost/local.json") ? settingsFile().toString() : word);
      }
      process =
          new ProcessBuilder(command)
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
              .start();
      processes.add(process);
      record.line("started node %s zone=%s pid=%d", name, zone, process.pid());
    }

    void signal(String signal) throws IOException, InterruptedException {
      record.line("signal %s to node %s pid=%d", signal, name, process.pid());
      new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    boolean isReady() {
      try {
        return new HttpCall("GET", "/-/readiness").header("Host", ready).send(ready, 1_000).status()
            == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  final RunRecord record;
  final Store store;
  final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Path root;
  private final Path folder;
  private final List<Process> processes = new ArrayList<>();

  Deployment(RunRecord record) throws IOException {
    this.record = record;
    this.root = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory("review");
    this.store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  Machine machine(String name, String zone, String service) throws IOException {
    Machine machine = new Machine(name, zone, service);
    machines.put(name, machine);
    return machine;
  }

  /** Starts all nodes and waits until each one is ready. */
  void startAll() throws IOException, InterruptedException {
    for (Machine machine : machines.values()) {
      machine.start();
    }
    long deadline = System.nanoTime() + 40_000_000_000L;
    for (Machine machine : machines.values()) {
      while (!machine.isReady()) {
        if (System.nanoTime() > deadline || !machine.process.isAlive()) {
          throw new IOException("node " + machine.name + " is not ready");
        }
        Thread.sleep(100);
      }
    }
    record.line("all nodes ready");
  }

  /** Returns a free address; its port lies below the ephemeral ports of outgoing connections. */
  private static synchronized String freeAddress() throws IOException {
    while (true) {
      int port = FIRST_PORT + RANDOM.nextInt(PORTS);
      if (!GIVEN_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return "127.0.0.1:" + socket.getLocalPort();
      } catch (java.net.BindException e) {
        // In use; try another one.
      }
    }
  }

  private String runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    return run.group(1);
  }

  private String render(Machine machine) throws IOException {
    String text = Files.readString(root.resolve("deploy/node.json.tmpl"));
    Map<String, String> values = new LinkedHashMap<>();
    values.put("nodeName", machine.name);
    values.put("zone", machine.zone);
    values.put("service", machine.service);
    values.put("appAddr", "127.0.0.1:" + machine.backendPort);
    values.put("listen.outbound", machine.ingress);
    values.put("ip", machine.peer.substring(0, machine.peer.lastIndexOf(':')));
    values.put("internalPorts.0", machine.peer.substring(machine.peer.lastIndexOf(':') + 1));
    values.put("listen.control", machine.control);
    values.put("listen.ready", machine.ready);
    values.put("platform.address", "127.0.0.1:" + machine.link.port());
    values.put("bounds.revokeMs", Integer.toString(REVOKE_MILLIS));
    values.put("bounds.quotaOvershoot", "0.1");
    values.put("bounds.quotaSlack", "20");
    values.put("bounds.quotaWindowS", "5");
    values.put("bounds.retryBudgetRatio", "0.2");
    values.put("bounds.retrySlack", "60");
    values.put("bounds.graceS", "6");
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("the template has a placeholder that is not known here");
    }
    return text;
  }

  private void endProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException, InterruptedException {
    endProcesses();
    for (Process process : processes) {
      process.waitFor();
    }
    store.stop();
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs in " + folder);
      return;
    }
    for (File file : folder.toFile().listFiles()) {
      Files.delete(file.toPath());
    }
    Files.delete(folder);
  }
}

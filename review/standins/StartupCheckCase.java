import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A node is stopped and started again while the backend beside it ends and its address goes to a
 * backend of another service. No request may be run by a service that its route does not name.
 */
final class StartupCheckCase {
  private static final String KEY = "89anu6wsjnbanfqasnmg";
  private static final int ADDRESS_REUSE_MILLIS = 2_000;
  private static final int STOP_SECONDS = 7;

  private record Run(String attempt, String target, String service) {}

  private StartupCheckCase() {}

  public static void main(String[] arguments) {
    Case.run(arguments, StartupCheckCase::run);
  }

  private static boolean run(Deployment deployment, RunRecord record, boolean trouble)
      throws Exception {
    List<Run> runs = new CopyOnWriteArrayList<>();
    Backend.Listener listener =
        (backend, method, target, headers) -> {
          runs.add(new Run(headers.get("attempt-id"), target, backend.service));
          record.line(
              "run attempt=%s target=%s at=%s of service %s",
              headers.get("attempt-id"), target, backend.id, backend.service);
        };
    String[] services = {"desk", "desk", "desk", "office", "office", "office"};
    String[] zones = {"kgn-a", "kgn-b", "spn-c", "kgn-a", "kgn-b", "spn-c"};
    List<Deployment.Machine> machines = new ArrayList<>();
    for (int i = 0; i < services.length; i++) {
      machines.add(deployment.machine("sidecar-" + i, zones[i], services[i]));
    }
    deployment.store.put(
        "op",
        "config",
        new Configuration()
            .service("desk")
            .service("office")
            .route("r-desk", "/desk/", "unsafe", "desk")
            .route("r-look", "/look/", "safe", "desk")
            .route("r-office", "/office/", "unsafe", "office")
            .tenant("bozi300", KEY, 0, 0)
            .text(7));
    deployment.startAll();
    List<Backend> backends = new ArrayList<>();
    for (int i = 0; i < services.length; i++) {
      backends.add(backend(machines.get(i), "i-first-" + i, listener, 0));
    }
    Thread.sleep(4_000);
    ExecutorService clients = Executors.newCachedThreadPool();
    Thread traffic = new Thread(() -> sendAll(clients, machines, record));
    traffic.setDaemon(true);
    traffic.start();
    Thread.sleep(2_000);

    Deployment.Machine machine = machines.get(0);
    if (trouble) {
      machine.signal("TERM");
      if (!machine.process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException("the node did not stop");
      }
      record.line("node %s has stopped", machine.name);
      backends.get(0).crash();
      long endedNanos = System.nanoTime();
      record.line("backend %s of service desk ended", backends.get(0).id);
      sleepUntil(endedNanos + (ADDRESS_REUSE_MILLIS - 600) * 1_000_000L);
      machine.start();
      sleepUntil(endedNanos + (ADDRESS_REUSE_MILLIS + 50) * 1_000_000L);
      machine.service = "office";
      backend(machine, "i-second-0", listener, Backend.HEARTBEAT_MILLIS);
      record.line("backend i-second-0 of service office started at the same address");
      machine.writeSettings();
      record.line("settings of %s changed: service office", machine.name);
      Thread.sleep(1_000);
      machine.signal("HUP");
    }
    Thread.sleep(8_000);
    traffic.interrupt();
    Thread.sleep(3_000);
    clients.shutdownNow();
    int wrong = 0;
    for (Run run : runs) {
      String service = run.target().startsWith("/office/") ? "office" : "desk";
      if (!run.service().equals(service)) {
        wrong++;
      }
    }
    record.line("%d of %d requests were run by another service than their route's", wrong, runs.size());
    if (runs.isEmpty()) {
      throw new IllegalStateException("no request ran");
    }
    return wrong > 0;
  }

  private static Backend backend(
      Deployment.Machine machine, String id, Backend.Listener listener, int firstHeartbeatMillis)
      throws Exception {
    return new Backend(
        id,
        machine.service,
        machine.backendPort,
        machine.zone,
        5,
        20,
        machine.control,
        listener,
        0,
        0,
        firstHeartbeatMillis);
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long millis = (nanos - System.nanoTime()) / 1_000_000L;
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  /** Sends 60 requests a second to the machines whose nodes keep running. */
  private static void sendAll(
      ExecutorService clients, List<Deployment.Machine> machines, RunRecord record) {
    try {
      for (int sent = 0; ; sent++) {
        Deployment.Machine machine = machines.get(1 + sent % (machines.size() - 1));
        String attempt = "a-" + sent;
        String target = List.of("/desk/", "/office/", "/look/", "/office/").get(sent % 4) + sent;
        clients.submit(() -> send(machine, record, attempt, target));
        Thread.sleep(16);
      }
    } catch (InterruptedException e) {
      record.line("no more requests");
    }
  }

  private static void send(
      Deployment.Machine machine, RunRecord record, String attempt, String target) {
    boolean safe = target.startsWith("/look/");
    try {
      HttpCall.Response response =
          new HttpCall(safe ? "GET" : "POST", target)
              .header("Host", "jepu9.example")
              .header("Attempt-Id", attempt)
              .header("Deadline-Ms", "4000")
              .header("Authorization", "Bearer " + KEY)
              .body(safe ? "" : "a booking")
              .send(machine.ingress, 5_000);
      record.line(
          "sent attempt=%s target=%s at=%s answered %d: %s",
          attempt, target, machine.name, response.status(), response.body().split("\n")[0]);
    } catch (Exception e) {
      record.line("sent attempt=%s target=%s at=%s failed: %s", attempt, target, machine.name, e);
    }
  }
}

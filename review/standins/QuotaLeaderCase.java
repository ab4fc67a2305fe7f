import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The machine whose node issues the quota tokens is partitioned from the store while the operator
 * adds a tenant. The requests of that tenant must stay within its quota.
 */
final class QuotaLeaderCase {
  private static final String OLD_KEY = "89anu6wsjnbanfqasnmg";
  private static final String NEW_KEY = "kcuyj8pjbvk9m68k7b2e";
  private static final int RATE_PER_SECOND = 5;
  private static final int BURST = 5;
  private static final int WINDOW_MILLIS = 5_000;
  private static final double OVERSHOOT = 0.1;
  private static final int SLACK = 20;
  private static final int CUT_MILLIS = 5_500;

  /** 7.5 times the tenant's rate. */
  private static final int SENT_PER_SECOND = 37;

  private record Run(long atMillis, String tenant) {}

  private QuotaLeaderCase() {}

  public static void main(String[] arguments) {
    Case.run(arguments, QuotaLeaderCase::run);
  }

  private static boolean run(Deployment deployment, RunRecord record, boolean trouble)
      throws Exception {
    List<Run> runs = new CopyOnWriteArrayList<>();
    Backend.Listener listener =
        (backend, method, target, headers) -> {
          runs.add(new Run(record.millis(), headers.get("tenant-id")));
          record.line(
              "run attempt=%s at=%s tenant=%s",
              headers.get("attempt-id"), backend.id, headers.get("tenant-id"));
        };
    String[] zones = {"kgn-a", "kgn-b", "spn-c"};
    List<Deployment.Machine> machines = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      machines.add(deployment.machine("sidecar-" + zones[i], zones[i], "desk"));
    }
    Configuration first =
        new Configuration()
            .service("desk")
            .route("r-desk", "/desk/", "safe", "desk")
            .tenant("bozi300", OLD_KEY, 20, 20);
    deployment.store.put("op", "config", first.text(7));
    deployment.startAll();
    for (int i = 0; i < zones.length; i++) {
      Deployment.Machine machine = machines.get(i);
      new Backend(
          "i-desk-" + i, "desk", machine.backendPort, zones[i], 5, 20, machine.control, listener);
    }
    Thread.sleep(4_000);
    for (int i = 0; i < 30; i++) {
      send(machines.get(i % 3), record, "warm-" + i, OLD_KEY);
      Thread.sleep(100);
    }
    String seat = deployment.store.text("quota", "seat");
    Deployment.Machine leader =
        machines.stream()
            .filter(machine -> seat != null && seat.endsWith(" " + machine.name))
            .findFirst()
            .orElseThrow(() -> new IllegalStateException("no node has become the quota leader"));
    record.line("the row quota/seat names %s", leader.name);
    Thread.sleep(4_000);

    if (trouble) {
      leader.link.setCut(true);
      record.line("%s is partitioned from the store for %d ms", leader.name, CUT_MILLIS);
    }
    long cutAt = record.millis();
    Thread.sleep(200);
    deployment.store.put(
        "op", "config", first.tenant("zemu911", NEW_KEY, RATE_PER_SECOND, BURST).text(9));
    record.line(
        "operator's change acknowledged: r9 adds tenant zemu911, %d per second and a burst of %d",
        RATE_PER_SECOND, BURST);
    List<Deployment.Machine> others = new ArrayList<>(machines);
    others.remove(leader);
    ExecutorService clients = Executors.newCachedThreadPool();
    long startNanos = System.nanoTime();
    int sent = 0;
    while (record.millis() - cutAt < 9_000) {
      Deployment.Machine machine = others.get(sent % others.size());
      String attempt = "new-" + sent++;
      clients.submit(() -> send(machine, record, attempt, NEW_KEY));
      if (trouble && record.millis() - cutAt >= CUT_MILLIS) {
        leader.link.setCut(false);
      }
      long dueNanos = startNanos + sent * 1_000_000_000L / SENT_PER_SECOND;
      Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000L));
    }
    leader.link.setCut(false);
    Thread.sleep(3_000);
    clients.shutdownNow();

    List<Long> times = new ArrayList<>();
    for (Run run : runs) {
      if ("zemu911".equals(run.tenant())) {
        times.add(run.atMillis());
      }
    }
    int most = 0;
    for (int from = 0; from < times.size(); from++) {
      int to = from;
      while (to < times.size() && times.get(to) - times.get(from) < WINDOW_MILLIS) {
        to++;
      }
      most = Math.max(most, to - from);
    }
    double bound =
        (RATE_PER_SECOND * WINDOW_MILLIS / 1_000.0 + BURST) * (1 + OVERSHOOT) + SLACK;
    record.line(
        "tenant zemu911: %d requests sent, %d run, at most %d in a window of 5 s; the bound is %.1f",
        sent, times.size(), most, bound);
    if (times.isEmpty()) {
      throw new IllegalStateException("no request of the new tenant ran");
    }
    return most > bound;
  }

  private static void send(
      Deployment.Machine machine, RunRecord record, String attempt, String key) {
    try {
      HttpCall.Response response =
          new HttpCall("GET", "/desk/x")
              .header("Host", "jepu9.example")
              .header("Attempt-Id", attempt)
              .header("Deadline-Ms", "4000")
              .header("Authorization", "Bearer " + key)
              .send(machine.ingress, 5_000);
      record.line("sent attempt=%s at=%s answered %d", attempt, machine.name, response.status());
    } catch (Exception e) {
      record.line("sent attempt=%s at=%s failed: %s", attempt, machine.name, e);
    }
  }
}

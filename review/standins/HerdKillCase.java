import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Processes of a zone are killed at the same moment, and the operator changes the configuration
 * right after. The nodes that go on must apply the change within the time that is set for it.
 */
final class HerdKillCase {
  private static final String KEY = "89anu6wsjnbanfqasnmg";
  private static final int MACHINES = 9;

  /**
   * The machines that are killed: less than the share of 0.55. With these names they are the first
   * four that read the operator's table for their zone, one after the other.
   */
  private static final Set<Integer> KILLED = Set.of(8, 5, 4, 3);

  private static final int DOWN_MILLIS = 2_000;
  private static final int STORM_MILLIS = 4_000;
  private static final int STORM_GAP_MILLIS = 330;
  private static final int KILL_AFTER_MILLIS = 1_100;
  private static final int FIRST_PROBE_MILLIS = 10;
  private static final int LAST_PROBE_MILLIS = 310;
  private static final int PROBE_INTERVAL_MILLIS = 30;

  private HerdKillCase() {}

  public static void main(String[] arguments) {
    Case.run(arguments, HerdKillCase::run);
  }

  private static boolean run(Deployment deployment, RunRecord record, boolean trouble)
      throws Exception {
    List<Deployment.Machine> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(deployment.machine("sidecar-kgn-a-" + (i + 1), "kgn-a", "desk"));
    }
    Configuration configuration =
        new Configuration()
            .service("desk")
            .route("r-first", "/first/", "safe", "desk")
            .tenant("bozi300", KEY, 0, 0);
    int version = 7;
    deployment.store.put("op", "config", configuration.text(version));
    deployment.startAll();
    for (Deployment.Machine machine : machines) {
      new Backend(
          "i-" + machine.name,
          "desk",
          machine.backendPort,
          machine.zone,
          5,
          20,
          machine.control,
          (backend, method, target, headers) ->
              record.line("run attempt=%s at=%s", headers.get("attempt-id"), backend.id));
    }
    List<Deployment.Machine> killed = new ArrayList<>();
    List<Deployment.Machine> left = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      (KILLED.contains(i + 1) ? killed : left).add(machines.get(i));
    }
    ExecutorService clients = Executors.newCachedThreadPool();
    AtomicInteger late = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    Thread.sleep(6_000);
    long stormNanos = System.nanoTime();
    clients.submit(
        () -> {
          sleepUntil(stormNanos + TimeUnit.MILLISECONDS.toNanos(KILL_AFTER_MILLIS));
          if (trouble) {
            killed.forEach(machine -> machine.process.destroyForcibly());
            record.line("%d of %d processes of the zone are killed", killed.size(), MACHINES);
            Thread.sleep(DOWN_MILLIS);
            for (Deployment.Machine machine : killed) {
              machine.start();
            }
          }
          return null;
        });
    for (int change = 0; change * STORM_GAP_MILLIS < STORM_MILLIS; change++) {
      sleepUntil(stormNanos + TimeUnit.MILLISECONDS.toNanos((long) change * STORM_GAP_MILLIS));
      String name = "added-" + change;
      version += 1 + change % 3;
      configuration.route("r-" + name, "/" + name + "/", "safe", "desk");
      deployment.store.put("op", "config", configuration.text(version));
      long acknowledgedNanos = System.nanoTime();
      record.line("acknowledged r%d, which adds the route /%s/", version, name);
      clients.submit(
          () -> {
            for (int after = FIRST_PROBE_MILLIS;
                after <= LAST_PROBE_MILLIS;
                after += PROBE_INTERVAL_MILLIS) {
              sleepUntil(
                  acknowledgedNanos
                      + TimeUnit.MILLISECONDS.toNanos(Deployment.CONFIG_APPLY_MILLIS + after));
              int number = after;
              for (Deployment.Machine machine : left) {
                clients.submit(
                    () -> probe(machine, record, name, number, acknowledgedNanos, late, served));
              }
            }
            return null;
          });
    }
    Thread.sleep(7_000);
    clients.shutdownNow();
    record.line(
        "%d requests served, %d answered 404 later than %d ms after the acknowledgement",
        served.get(), late.get(), Deployment.CONFIG_APPLY_MILLIS);
    if (served.get() == 0) {
      throw new IllegalStateException("no request on an added route was served");
    }
    return late.get() > 0;
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long millis = (nanos - System.nanoTime()) / 1_000_000L;
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  private static Object probe(
      Deployment.Machine machine,
      RunRecord record,
      String route,
      int number,
      long acknowledgedNanos,
      AtomicInteger late,
      AtomicInteger served) {
    long sentMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000L;
    String attempt = route + "-" + machine.name + "-" + number;
    try {
      HttpCall.Response response =
          new HttpCall("GET", "/" + route + "/x")
              .header("Host", "jepu9.example")
              .header("Attempt-Id", attempt)
              .header("Deadline-Ms", "4000")
              .header("Authorization", "Bearer " + KEY)
              .send(machine.ingress, 5_000);
      record.line(
          "sent attempt=%s to %s %d ms after the acknowledgement, answered %d",
          attempt, machine.name, sentMillis, response.status());
      if (response.status() == 404) {
        late.incrementAndGet();
      }
      if (response.status() == 200) {
        served.incrementAndGet();
      }
    } catch (Exception e) {
      record.line("sent attempt=%s to %s failed: %s", attempt, machine.name, e);
    }
    return null;
  }
}

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine loses power while it is partitioned from the store. Its node and its backend start
 * again; the backend is cold and must not get more requests than it bears.
 */
final class ColdHostCase {
  private static final String KEY = "89anu6wsjnbanfqasnmg";
  private static final int COLD_MILLIS = 8_000;
  private static final int COLD_PER_SECOND = 10;
  private static final double OVERSHOOT = 1.5;
  private static final int SLACK = 5;
  private static final int CUT_MILLIS = 5_500;
  private static final int DARK_MILLIS = 1_500;
  private static final int WORK_MILLIS = 100;
  private static final int QUIET_PER_SECOND = 20;
  private static final int BUSY_PER_SECOND = 160;
  private static final int BUSY_MILLIS = 4_000;

  private record Arrival(long sentMillis, long atMillis) {}

  private ColdHostCase() {}

  public static void main(String[] arguments) {
    Case.run(arguments, ColdHostCase::run);
  }

  private static boolean run(Deployment deployment, RunRecord record, boolean trouble)
      throws Exception {
    boolean cutToo = !"power".equals(System.getenv("TROUBLE"));
    List<Arrival> coldArrivals = new CopyOnWriteArrayList<>();
    Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    AtomicInteger crashes = new AtomicInteger();
    Map<String, Boolean> runsAtCold = new ConcurrentHashMap<>();
    Backend.Listener listener =
        new Backend.Listener() {
          @Override
          public void onRun(
              Backend backend, String method, String target, Map<String, String> headers) {
            String attempt = headers.get("attempt-id");
            long cold = backend.coldRemainingMillis();
            record.line("run attempt=%s at=%s coldRemainingMs=%d", attempt, backend.id, cold);
            if (cold > 0) {
              coldArrivals.add(new Arrival(sentMillis.get(attempt), record.millis()));
              runsAtCold.put(attempt, true);
            }
          }

          @Override
          public void onCrash(Backend backend, int arrivals, int atWork) {
            crashes.incrementAndGet();
            record.line(
                "backend %s crashed: %d requests in a second while cold, %d at work",
                backend.id, arrivals, atWork);
          }
        };
    String[] zones = {"kgn-a", "kgn-b", "spn-c", "kgn-a"};
    List<Deployment.Machine> machines = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      machines.add(deployment.machine("sidecar-" + i, zones[i], "desk"));
    }
    deployment.store.put(
        "op",
        "config",
        new Configuration()
            .service("desk")
            .route("r-book", "/book/", "unsafe", "desk")
            .route("r-look", "/look/", "safe", "desk")
            .tenant("bozi300", KEY, 0, 0)
            .text(7));
    deployment.startAll();
    List<Backend> backends = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      backends.add(backend(machines.get(i), "i-first-" + i, listener, 0));
    }
    Thread.sleep(4_000);

    Deployment.Machine machine = machines.get(3);
    ExecutorService clients = Executors.newCachedThreadPool();
    AtomicInteger perSecond = new AtomicInteger(QUIET_PER_SECOND);
    Thread traffic =
        new Thread(
            () -> {
              long nextNanos = System.nanoTime();
              for (int sent = 0; perSecond.get() > 0; sent++) {
                String attempt = "a-" + sent;
                boolean safe = sent % 4 == 0;
                Deployment.Machine ingress = machines.get(sent % 3);
                sentMillis.put(attempt, record.millis());
                clients.submit(() -> send(ingress, record, attempt, safe, runsAtCold));
                nextNanos += 1_000_000_000L / Math.max(1, perSecond.get());
                sleepUntil(nextNanos);
              }
            });
    traffic.start();
    Thread.sleep(2_000);
    if (trouble && cutToo) {
      machine.link.setCut(true);
      record.line("%s is partitioned from the store for %d ms", machine.name, CUT_MILLIS);
    }
    long cutNanos = System.nanoTime();
    Thread.sleep(200);
    if (trouble) {
      record.line("%s loses power: its node and its backend end", machine.name);
      machine.process.destroyForcibly();
      backends.get(3).crash();
      Thread.sleep(DARK_MILLIS);
      backend(machine, "i-first-3", listener, COLD_MILLIS);
      machine.start();
      record.line("%s is back; backend i-first-3 is cold for %d ms", machine.name, COLD_MILLIS);
    }
    sleepUntil(cutNanos + (CUT_MILLIS - 2_000) * 1_000_000L);
    record.line("many users come at once");
    perSecond.set(BUSY_PER_SECOND);
    sleepUntil(cutNanos + CUT_MILLIS * 1_000_000L);
    machine.link.setCut(false);
    record.line("the partition of %s has ended", machine.name);
    sleepUntil(cutNanos + (CUT_MILLIS - 2_000 + BUSY_MILLIS) * 1_000_000L);
    perSecond.set(0);
    traffic.join();
    Thread.sleep(5_000);
    clients.shutdownNow();

    int most = 0;
    for (Arrival first : coldArrivals) {
      int within = 0;
      for (Arrival other : coldArrivals) {
        boolean inWindow =
            other.atMillis() >= first.atMillis() && other.atMillis() < first.atMillis() + 1_000;
        if (inWindow && other.sentMillis() >= first.atMillis() - 1_000) {
          within += other.sentMillis() >= first.sentMillis() ? 1 : 0;
        }
      }
      most = Math.max(most, within);
    }
    double bound = COLD_PER_SECOND * OVERSHOOT + SLACK;
    record.line(
        "the cold backend got %d requests, at most %d in one second; the bound is %.1f; crashes: %d",
        coldArrivals.size(), most, bound, crashes.get());
    return most > bound;
  }

  private static Backend backend(
      Deployment.Machine machine, String id, Backend.Listener listener, int coldMillis)
      throws Exception {
    return new Backend(
        id,
        machine.service,
        machine.backendPort,
        machine.zone,
        5,
        WORK_MILLIS,
        machine.control,
        listener,
        coldMillis,
        COLD_PER_SECOND,
        0);
  }

  private static void sleepUntil(long nanos) {
    long millis = (nanos - System.nanoTime()) / 1_000_000L;
    if (millis > 0) {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static void send(
      Deployment.Machine machine,
      RunRecord record,
      String attempt,
      boolean safe,
      Map<String, Boolean> runsAtCold) {
    String end;
    try {
      HttpCall.Response response =
          new HttpCall(safe ? "GET" : "POST", safe ? "/look/x" : "/book/x")
              .header("Host", "jepu9.example")
              .header("Attempt-Id", attempt)
              .header("Deadline-Ms", "4000")
              .header("Authorization", "Bearer " + KEY)
              .body(safe ? "" : "a booking")
              .send(machine.ingress, 5_000);
      end = "answered " + response.status();
    } catch (Exception e) {
      end = "failed: " + e;
    }
    record.line(
        "sent attempt=%s at=%s %s%s",
        attempt, machine.name, end, runsAtCold.containsKey(attempt) ? " (ran at the cold one)" : "");
  }
}

package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import java.util.function.Predicate;

/** Every scenario, for every service, under every policy that it tells something of. */
record Suite(long seed, long healthySeconds, Predicate<String> wanted) {
  private static final double LOW_UTILISATION = 0.05;
  private static final double SLOW_RATIO = 10;
  private static final double SICK_FRACTION = 0.2;

  /** A run of one scenario that has not started. */
  private record Job(String scenario, Subject subject, Function<Subject, Vector<Row>> run) {}

  private static final Vector<DetectionScenario> DETECTION =
      Vector.of(
          DetectionScenario.of("slow-10x", Disturbance.slow(SLOW_RATIO, 1)),
          DetectionScenario.of("slow-10x-fifth", Disturbance.slow(SLOW_RATIO, SICK_FRACTION)),
          DetectionScenario.of("failing-fifth", Disturbance.failing(SICK_FRACTION)),
          DetectionScenario.of("hanging", Disturbance.hanging(1)),
          DetectionScenario.of("hanging-fifth", Disturbance.hanging(SICK_FRACTION)),
          DetectionScenario.of("slow-2x", Disturbance.slow(2, 1)),
          new DetectionScenario(
              "one-way-cut",
              Subject.NORMAL_UTILISATION,
              (fleet, endpoint) -> fleet.cut(Option.some(endpoint))),
          new DetectionScenario(
              "low-traffic-slow-10x",
              LOW_UTILISATION,
              (fleet, endpoint) -> fleet.disturb(endpoint, Disturbance.slow(SLOW_RATIO, 1))),
          new DetectionScenario(
              "low-traffic-failing-fifth",
              LOW_UTILISATION,
              (fleet, endpoint) -> fleet.disturb(endpoint, Disturbance.failing(SICK_FRACTION))));

  private static final Vector<ServiceScenario> SERVICE =
      Vector.of(
          ServiceScenario.everyServer("all-well", Disturbance.NONE),
          ServiceScenario.oneServer("one-slow-10x", Disturbance.slow(SLOW_RATIO, 1)),
          ServiceScenario.oneServer(
              "one-slow-10x-fifth", Disturbance.slow(SLOW_RATIO, SICK_FRACTION)),
          ServiceScenario.oneServer("one-failing-fifth", Disturbance.failing(SICK_FRACTION)),
          ServiceScenario.oneServer("one-hanging-fifth", Disturbance.hanging(SICK_FRACTION)),
          ServiceScenario.everyServer("all-failing-half", Disturbance.failing(0.5)));

  Vector<Row> run() {
    Vector<Job> jobs = jobs().filter(job -> wanted.test(job.scenario()));
    return Vector.ofAll(
            jobs.toJavaParallelStream().map(job -> job.run().apply(job.subject())).toList())
        .flatMap(rows -> rows);
  }

  private Vector<Job> jobs() {
    return subjects(Vector.of(Router.CURRENT))
        .flatMap(
            subject ->
                DETECTION
                    .map(scenario -> new Job(scenario.name(), subject, scenario::run))
                    .prepend(
                        new Job(
                            "healthy-hour", subject, s -> HealthyScenario.run(s, healthySeconds))))
        .appendAll(
            subjects(Router.BASELINES.prepend(Router.CURRENT))
                .flatMap(
                    subject ->
                        SERVICE
                            .map(scenario -> new Job(scenario.name(), subject, scenario::run))
                            .append(new Job("domain-out-and-back", subject, DomainScenario::run))));
  }

  private Vector<Subject> subjects(Vector<Router.Kind> kinds) {
    return Deployment.ALL.flatMap(
        deployment ->
            deployment
                .services()
                .flatMap(size -> kinds.map(kind -> new Subject(deployment, size, kind, seed))));
  }
}

package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Runs the scenarios for every service of every deployment.
 *
 * <p>The baselines take no part in the ejection scenarios, because they do not eject servers.
 *
 * @param seed the seed of the random number generators
 * @param healthySeconds the simulated observation time of the scenario {@code healthy-hour}
 * @param scenarioFilter selects scenarios by name
 */
record ScenarioSuite(long seed, long healthySeconds, Predicate<String> scenarioFilter) {
  private static final double LOW_UTILISATION = 0.05;
  private static final double SLOWDOWN_FACTOR = 10;
  private static final double FAULTY_FRACTION = 0.2;

  /** A scenario that is to be run on one system under test. */
  private record ScenarioRun(
      String scenarioName,
      SystemUnderTest systemUnderTest,
      Function<SystemUnderTest, Vector<ResultRow>> scenario) {}

  private static final Vector<DetectionScenario> DETECTION_SCENARIOS =
      Vector.of(
          DetectionScenario.withServerFault("slow-10x", ServerFault.slow(SLOWDOWN_FACTOR, 1)),
          DetectionScenario.withServerFault(
              "slow-10x-fifth", ServerFault.slow(SLOWDOWN_FACTOR, FAULTY_FRACTION)),
          DetectionScenario.withServerFault("failing-fifth", ServerFault.failing(FAULTY_FRACTION)),
          DetectionScenario.withServerFault("hanging", ServerFault.hanging(1)),
          DetectionScenario.withServerFault("hanging-fifth", ServerFault.hanging(FAULTY_FRACTION)),
          DetectionScenario.withServerFault("slow-2x", ServerFault.slow(2, 1)),
          new DetectionScenario(
              "one-way-cut",
              SystemUnderTest.NORMAL_UTILISATION,
              (simulation, endpoint) -> simulation.cutOff(Option.some(endpoint))),
          new DetectionScenario(
              "low-traffic-slow-10x",
              LOW_UTILISATION,
              (simulation, endpoint) ->
                  simulation.injectFault(endpoint, ServerFault.slow(SLOWDOWN_FACTOR, 1))),
          new DetectionScenario(
              "low-traffic-failing-fifth",
              LOW_UTILISATION,
              (simulation, endpoint) ->
                  simulation.injectFault(endpoint, ServerFault.failing(FAULTY_FRACTION))));

  private static final Vector<CallerImpactScenario> CALLER_IMPACT_SCENARIOS =
      Vector.of(
          CallerImpactScenario.withFaultOnAllServers("all-well", ServerFault.NONE),
          CallerImpactScenario.withFaultOnOneServer(
              "one-slow-10x", ServerFault.slow(SLOWDOWN_FACTOR, 1)),
          CallerImpactScenario.withFaultOnOneServer(
              "one-slow-10x-fifth", ServerFault.slow(SLOWDOWN_FACTOR, FAULTY_FRACTION)),
          CallerImpactScenario.withFaultOnOneServer(
              "one-failing-fifth", ServerFault.failing(FAULTY_FRACTION)),
          CallerImpactScenario.withFaultOnOneServer(
              "one-hanging-fifth", ServerFault.hanging(FAULTY_FRACTION)),
          CallerImpactScenario.withFaultOnAllServers("all-failing-half", ServerFault.failing(0.5)));

  Vector<ResultRow> run() {
    Vector<ScenarioRun> runs =
        scenarioRuns().filter(run -> scenarioFilter.test(run.scenarioName()));
    return Vector.ofAll(
            runs.toJavaParallelStream()
                .map(run -> run.scenario().apply(run.systemUnderTest()))
                .toList())
        .flatMap(rows -> rows);
  }

  private Vector<ScenarioRun> scenarioRuns() {
    return systemsUnderTest(Vector.of(Router.CLEMENTINEPOST))
        .flatMap(
            system ->
                DETECTION_SCENARIOS
                    .map(scenario -> new ScenarioRun(scenario.name(), system, scenario::run))
                    .prepend(
                        new ScenarioRun(
                            "healthy-hour",
                            system,
                            tested -> FalseEjectionScenario.run(tested, healthySeconds))))
        .appendAll(
            systemsUnderTest(Router.BASELINES.prepend(Router.CLEMENTINEPOST))
                .flatMap(
                    system ->
                        CALLER_IMPACT_SCENARIOS
                            .map(
                                scenario -> new ScenarioRun(scenario.name(), system, scenario::run))
                            .append(
                                new ScenarioRun(
                                    "domain-out-and-back",
                                    system,
                                    DomainEvacuationScenario::run))));
  }

  private Vector<SystemUnderTest> systemsUnderTest(Vector<Router.Variant> routerVariants) {
    return Deployment.ALL.flatMap(
        deployment ->
            deployment
                .services()
                .flatMap(
                    serviceSize ->
                        routerVariants.map(
                            routerVariant ->
                                new SystemUnderTest(
                                    deployment, serviceSize, routerVariant, seed))));
  }
}

package org.clementinepost.benchmarks.measures;

/** The subject of a benchmark run: one service of one deployment under one routing policy. */
record SystemUnderTest(
    Deployment deployment,
    Deployment.ServiceSize serviceSize,
    Router.Variant routerVariant,
    long seed) {
  static final double NORMAL_UTILISATION = 0.5;

  FleetSimulation newSimulation(double utilisation, long round) {
    return new FleetSimulation(
        deployment, serviceSize, routerVariant, utilisation, seed * 1_000 + round);
  }

  ResultRow newRow(String scenario, String metric, double value) {
    return new ResultRow(
        deployment.name(),
        serviceSize.service().value(),
        scenario,
        routerVariant.name(),
        metric,
        value);
  }
}

package org.clementinepost.benchmarks.measures;

/** What is measured: one service of one deployment under one policy. */
record Subject(Deployment deployment, Deployment.ServiceSize size, Router.Kind kind, long seed) {
  static final double NORMAL_UTILISATION = 0.5;

  Fleet fleet(double utilisation, long round) {
    return new Fleet(deployment, size, kind, utilisation, seed * 1_000 + round);
  }

  Row row(String scenario, String measure, double value) {
    return new Row(
        deployment.name(), size.service().value(), scenario, kind.name(), measure, value);
  }
}

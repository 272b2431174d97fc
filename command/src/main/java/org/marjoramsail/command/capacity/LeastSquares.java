package org.marjoramsail.command.capacity;

import java.util.List;

/** Fits a sum of weighted factors to measured values, so that the squared errors are least. */
final class LeastSquares {

  /**
   * One observation.
   *
   * @param factors the factors, as many in each observation
   * @param value what was measured
   */
  record Observation(List<Double> factors, double value) {}

  private final double[] weights;
  private final double determination;

  private LeastSquares(double[] weights, double determination) {
    this.weights = weights;
    this.determination = determination;
  }

  /** Solves the normal equations; the factors must not depend on each other. */
  static LeastSquares fit(List<Observation> observations) {
    int count = observations.get(0).factors().size();
    double[][] equations = new double[count][count + 1];
    for (Observation observation : observations) {
      for (int row = 0; row < count; row++) {
        double factor = observation.factors().get(row);
        for (int column = 0; column < count; column++) {
          equations[row][column] += factor * observation.factors().get(column);
        }
        equations[row][count] += factor * observation.value();
      }
    }
    double[] weights = solve(equations);
    return new LeastSquares(weights, determination(weights, observations));
  }

  /** The weight of a factor. */
  double weight(int factor) {
    return weights[factor];
  }

  /** The share of the values' variance that the fit explains, at most one. */
  double determination() {
    return determination;
  }

  private static double[] solve(double[][] equations) {
    int count = equations.length;
    for (int pivot = 0; pivot < count; pivot++) {
      int best = pivot;
      for (int row = pivot + 1; row < count; row++) {
        if (Math.abs(equations[row][pivot]) > Math.abs(equations[best][pivot])) {
          best = row;
        }
      }
      double[] swapped = equations[best];
      equations[best] = equations[pivot];
      equations[pivot] = swapped;
      eliminate(equations, pivot);
    }
    double[] solution = new double[count];
    for (int row = 0; row < count; row++) {
      solution[row] = equations[row][count] / equations[row][row];
    }
    return solution;
  }

  private static void eliminate(double[][] equations, int pivot) {
    for (int row = 0; row < equations.length; row++) {
      if (row == pivot) {
        continue;
      }
      double ratio = equations[row][pivot] / equations[pivot][pivot];
      for (int column = pivot; column <= equations.length; column++) {
        equations[row][column] -= ratio * equations[pivot][column];
      }
    }
  }

  private static double determination(double[] weights, List<Observation> observations) {
    double mean = observations.stream().mapToDouble(Observation::value).average().orElse(0);
    double errors = 0;
    double variance = 0;
    for (Observation observation : observations) {
      double fitted = 0;
      for (int factor = 0; factor < weights.length; factor++) {
        fitted += weights[factor] * observation.factors().get(factor);
      }
      errors += Math.pow(observation.value() - fitted, 2);
      variance += Math.pow(observation.value() - mean, 2);
    }
    return variance == 0 ? 1 : 1 - errors / variance;
  }
}

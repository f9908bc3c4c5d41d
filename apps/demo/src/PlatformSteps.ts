import type { DemoContext } from './DemoContext'

/**
 * Steps that depend on the platform: starting it, and applying a declaration. They are separate so that tests can
 * replace them.
 *
 * @public
 */
export abstract class PlatformSteps {
  /**
   * Starts the platform.
   *
   * @param context - children and programs of the demo
   * @returns additional arguments for each node, such as `--table-store`
   */
  abstract start (context: DemoContext): Promise<readonly string[]>

  /**
   * Applies the declaration of the demo, with the teams, keys, routes and services of `demoTraffic`.
   *
   * @param context - children, programs and nodes of the demo
   */
  abstract apply (context: DemoContext): Promise<void>
}

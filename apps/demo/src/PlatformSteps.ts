import type { DemoContext } from './DemoContext'

/**
 * The steps that need the platform: its stand-in and `lavenderturn-ctl apply`. They are apart from the rest, so that
 * the demo's own test can leave them out.
 *
 * @public
 */
export abstract class PlatformSteps {
  /**
   * Starts the platform.
   *
   * @param context - children and ports of the demo
   * @returns further arguments for each node, such as `--table-store`
   */
  abstract start (context: DemoContext): Promise<readonly string[]>

  /**
   * Applies the demo's declaration: teams, keys, routes and services as in `demoTraffic`.
   *
   * @param context - children and ports of the demo
   */
  abstract apply (context: DemoContext): Promise<void>
}

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

/** Says that the steps are not there yet. @public */
export class MissingPlatformSteps extends PlatformSteps {
  override async start (): Promise<readonly string[]> {
    throw new Error('the demo cannot start the platform yet')
  }

  override async apply (): Promise<void> {
    throw new Error('the demo cannot apply a declaration yet')
  }
}

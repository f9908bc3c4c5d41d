import type { Children } from './Children'

/** One node of the demo and its ports. @public */
export interface DemoNode {
  readonly name: string
  readonly dataCentre: string
  readonly callerAddress: string
  readonly forwardAddress: string
  readonly controlAddress: string
  readonly adminAddress: string
}

/** Programs that the demo starts, each with leading arguments. @public */
export interface DemoPrograms {
  readonly node: readonly string[]
  readonly backend: readonly string[]
  readonly platform: readonly string[]
  readonly ctl: readonly string[]
}

/** What the steps of the demo share. @public */
export interface DemoContext {
  readonly children: Children
  readonly programs: DemoPrograms
  nodes: readonly DemoNode[]
  /** Further arguments of each node, from the platform step. */
  nodeArguments: readonly string[]
}

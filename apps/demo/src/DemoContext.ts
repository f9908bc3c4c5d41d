import type { ChildProcesses } from './ChildProcesses'

/** One node of the demo and its ports. @public */
export interface DemoNode {
  readonly name: string
  readonly dataCentre: string
  readonly callerAddress: string
  readonly forwardAddress: string
  readonly controlAddress: string
  readonly adminAddress: string
}

/** Commands of the programs that the demo starts. @public */
export interface DemoPrograms {
  readonly node: readonly string[]
  readonly backend: readonly string[]
  readonly platform: readonly string[]
  readonly ctl: readonly string[]
}

/** Context that the steps of the demo share. @public */
export interface DemoContext {
  readonly children: ChildProcesses
  readonly programs: DemoPrograms
  nodes: readonly DemoNode[]
  /** Additional arguments of each node, returned by `PlatformSteps.start`. */
  nodeArguments: readonly string[]
}

/** Steps of the demo, in order. `stopAll` and `report` also run after a failure. */
export const DEMO_STEPS = [
  'choosePorts', 'startPlatform', 'startNodes', 'startBackends', 'applyDeclaration', 'awaitReady', 'runRequests',
  'plannedStop', 'stopAll', 'report'
] as const

/** @public */
export type DemoStep = typeof DEMO_STEPS[number]

/** Outcome of a request. @public */
export interface RequestOutcome {
  readonly team: string
  readonly kind: 'lookup' | 'reservation' | 'upload'
  readonly latencyMs: number
  /** `cut`: the connection broke after the request was sent; `wrong`: the response belongs to another request. */
  readonly result: 'answered' | 'refused' | 'cut' | 'wrong'
  readonly detail?: string
}

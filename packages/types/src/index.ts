export * from './ids'
export * from './resultCodes'
